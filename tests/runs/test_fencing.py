"""Fencing tokens over the lives of a worker and the processes of its sidecar."""

from tests.runs.lone_sidecar import LoneSidecar
from tests.runs.test_orphans import is_clean
from tests.runs.world import ms


def test_a_list_asked_for_without_a_token_fences_nobody():
    """Two holds are under way when a sidecar learns its worker's clock. The answer to
    the second, sent before there was a token, proves nothing: the worker may still
    carry out an order of the sidecar's earlier process.
    """
    sidecar = LoneSidecar()
    sidecar.take_list(ms(3), asked=ms(1), made=ms(2), token=0)
    assert sidecar.state.token > 0
    sidecar.take_list(ms(4), asked=ms(1), made=ms(3), token=0)
    assert not is_clean(sidecar, ms(5))
    sidecar.take_list(ms(6), asked=ms(5), made=ms(6))
    assert is_clean(sidecar, ms(7))
