"""The measuring command runs; its figures are not judged here."""

from click.testing import CliRunner

from gypsumspoke.tools.measure_wire import main


def test_it_prints_a_row_for_each_message():
    result = CliRunner().invoke(main, ["--calls", "2", "--rounds", "1"])
    assert result.exit_code == 0
    rows = [line.split()[0] for line in result.output.splitlines() if line]
    assert rows.count("StartTask") == 2
    assert rows.count("JobAnswer") == 1
