"""Failure domains that operators cordon: nothing new starts there, the rest serves."""

import pytest

from gypsumspoke.core.effects import Log, Send
from gypsumspoke.core.events import PeerConnected, Received
from gypsumspoke.runs import coordinator
from gypsumspoke.runs.admission import expected_wait
from gypsumspoke.runs.cordons import Cordons
from gypsumspoke.runs.messages import ConfigurationOffer, RunEnded
from gypsumspoke.runs.values import EndReason, JobEnd, RefusalReason
from gypsumspoke.runs.worker_commands import StartCommand
from tests.runs.groups import SingleEntryGroup
from tests.runs.world import ROUTE, SERVICE, World, job, ms

NORTH, SOUTH = "north", "south"


class TwoDomains(World):
    """A world whose first sidecars are in one failure domain, the others in another."""

    def __init__(self, entries=2, sidecars=4, north=2, **more):
        self._north = north
        super().__init__(entries, sidecars, **more)
        self.run(ms(3000))

    def start_sidecar(self, host):
        """Start a sidecar in its failure domain."""
        number = int(host.removeprefix("side"))
        self.failure_domains[host] = NORTH if number < self._north else SOUTH
        return super().start_sidecar(host)

    def starts_in(self, domain):
        """Return the numbers of starts on the workers of a failure domain, in all."""
        return sum(
            isinstance(effect, StartCommand)
            and self.failure_domains[name.rpartition("-")[0]] == domain
            for _, name, effect in self.log
        )

    def submit_jobs(self, count, host="entry0", tasks=1):
        """Submit jobs at intervals and return their requests."""
        requests = []
        for _ in range(count):
            request = f"r{len(self.answers)}-{self.now.timestamp()}"
            self.submit(host, request, job(f"j{request}", count=tasks))
            requests.append(request)
            self.run(ms(60))
        return requests

    def ends_of(self, requests):
        """Return how requests were answered."""
        return {self.end_of(request) for request in requests}


def test_nothing_starts_in_a_cordoned_domain_and_all_is_served_elsewhere():
    world = TwoDomains()
    world.cordon(NORTH)
    world.run(ms(10))
    world.log.clear()
    requests = world.submit_jobs(20)
    world.run(ms(2000))
    assert world.ends_of(requests) == {JobEnd.COMPLETED}
    assert world.starts_in(NORTH) == 0
    assert world.starts_in(SOUTH) == 20


def test_runs_at_work_in_a_cordoned_domain_go_on():
    world = TwoDomains(sidecars=2, north=2)
    world.submit("entry0", "r", job("j", count=2))
    world.run(ms(50))
    world.cordon(NORTH)
    world.run(ms(1000))
    assert world.end_of("r") is JobEnd.COMPLETED
    assert len(world.starts_of("j")) == 2


def lines(world, event):
    """Return the number of log lines with this event."""
    return sum(
        isinstance(effect, Log) and effect.event == event for _, _, effect in world.log
    )


def test_each_change_and_the_end_of_the_last_run_are_logged_once():
    world = TwoDomains(sidecars=2, north=1)
    world.submit("entry0", "r", job("j", count=4))
    world.run(ms(50))
    world.cordon(NORTH)
    world.run(ms(60))
    assert lines(world, "failure domain cordoned") == 1
    assert lines(world, "cordoned worker empty") == 0
    world.run(ms(1000))
    assert lines(world, "cordoned worker empty") == 1
    world.lift(NORTH)
    world.run(ms(1000))
    assert lines(world, "cordon lifted") == 1
    assert lines(world, "cordons changed") == 4


def test_an_entry_cut_off_from_the_store_starts_nothing_in_a_cordoned_domain():
    """Its sidecars hear of the cordon from other entries."""
    world = TwoDomains()
    world.cut_from_store.add("entry0")
    world.cordon(NORTH)
    world.run(ms(10))
    world.log.clear()
    requests = world.submit_jobs(10, "entry0")
    world.run(ms(2000))
    assert world.ends_of(requests) == {JobEnd.COMPLETED}
    assert world.starts_in(NORTH) == 0


def test_a_sidecar_that_restarts_while_the_store_is_away_keeps_the_cordon():
    """An entry may place a run on its first report, before it knows of the cordon."""
    world = TwoDomains()
    world.cordon(NORTH)
    world.cut_from_store.update(("entry0", "entry1"))
    world.run(ms(200))
    world.log.clear()
    world.kill("side0")
    world.start_sidecar("side0")
    requests = world.submit_jobs(20)
    world.run(ms(2000))
    assert world.ends_of(requests) == {JobEnd.COMPLETED}
    assert world.starts_in(NORTH) == 0


def test_a_lifted_domain_takes_work_again_at_once():
    world = TwoDomains()
    world.cordon(NORTH, SOUTH)
    world.run(ms(500))
    world.lift(NORTH)
    world.run(ms(10))
    world.log.clear()
    requests = world.submit_jobs(4)
    world.run(ms(1500))
    assert world.ends_of(requests) == {JobEnd.COMPLETED}
    assert world.starts_in(NORTH) == 4


def test_a_cordon_lifted_and_made_again_within_a_moment_holds():
    world = TwoDomains()
    for _ in range(3):
        world.cordon(NORTH)
        world.run(ms(1))
        world.lift(NORTH)
        world.run(ms(1))
    world.cordon(NORTH)
    world.run(ms(10))
    world.log.clear()
    requests = world.submit_jobs(10)
    world.run(ms(1500))
    assert world.ends_of(requests) == {JobEnd.COMPLETED}
    assert world.starts_in(NORTH) == 0


def test_an_unknown_failure_domain_changes_nothing():
    world = TwoDomains()
    world.cordon("nowhere", "%6e/orth")
    world.run(ms(10))
    requests = world.submit_jobs(10)
    world.run(ms(1500))
    assert world.ends_of(requests) == {JobEnd.COMPLETED}
    assert world.starts_in(NORTH) > 0


# Copies of the set


def offers(effects):
    """Return the offers among effects, by receiver."""
    return {
        effect.to: effect.message
        for effect in effects
        if isinstance(effect, Send) and isinstance(effect.message, ConfigurationOffer)
    }


def receive(world, host, sender, cordons):
    """Let an entry receive the cordons of another one; return the effects."""
    state = world.processes[host].state
    message = ConfigurationOffer(0, cordons)
    return coordinator.reduce(state, Received(sender, message), world.now)


def test_an_old_copy_does_not_undo_a_lifted_cordon():
    """A slow read, or a peer that was cut off, has the set as of before."""
    world = TwoDomains()
    world.cordon(NORTH)
    old = world.processes["entry0"].state.cordons
    world.lift(NORTH)
    receive(world, "entry0", "entry1-9", old)
    assert world.processes["entry0"].state.cordons.domains == ()
    for host in ("side0", "side1"):
        event = Received("entry0-x", ConfigurationOffer(0, old))
        world.post(world.processes[host], event)
    world.run(ms(10))
    world.log.clear()
    world.submit_jobs(10)
    assert world.starts_in(NORTH) > 0


def test_an_old_copy_does_not_undo_a_cordon_that_was_lifted_and_made_again():
    """An entry that reads only the latest state finds the same domains as before."""
    world = TwoDomains()
    world.cordon(NORTH)
    world.run(ms(10))
    world.cut_from_store.add("entry0")
    world.lift(NORTH)
    lifted = world.processes["entry1"].state.cordons
    for host in ("side0", "side1"):
        world.cut_off("entry1", host)
    world.cordon(NORTH)
    world.cut_from_store.clear()
    world.read_cordons("entry0")
    world.run(ms(10))
    for host in ("side0", "side1"):
        event = Received("entry1-x", ConfigurationOffer(0, lifted))
        world.post(world.processes[host], event)
    world.log.clear()
    world.submit_jobs(10)
    assert world.starts_in(NORTH) == 0


def test_an_entry_without_the_store_learns_the_cordons_from_another_and_hands_them_on():
    world = TwoDomains()
    cordons = Cordons(5, 5, (NORTH,))
    sent = offers(receive(world, "entry0", "entry1-9", cordons))
    sidecars = {world.processes[f"side{number}"].name for number in range(4)}
    assert sidecars <= set(sent)
    assert {message.cordons for message in sent.values()} == {cordons}
    assert offers(receive(world, "entry0", "entry1-9", cordons)) == {}


def test_a_new_peer_is_told_the_cordons_before_it_can_be_given_work():
    world = TwoDomains()
    world.cordon(SOUTH)
    state = world.processes["entry0"].state
    effects = coordinator.reduce(state, PeerConnected("side9-1"), world.now)
    assert offers(effects)["side9-1"].cordons.domains == (SOUTH,)


# Runs that have not started yet


def test_a_run_that_waits_in_a_cordoned_domain_is_placed_elsewhere():
    """Its room there would come free after the cordon."""
    world = TwoDomains(sidecars=2, north=1)
    world.submit("entry0", "r0", job("j0", count=4))
    world.run(ms(150))
    world.submit("entry1", "r1", job("j1", count=1))
    world.run(ms(4))
    world.log.clear()
    world.cordon(NORTH)
    world.run(ms(2000))
    assert world.ends_of(["r0", "r1"]) == {JobEnd.COMPLETED}
    assert world.starts_in(NORTH) == 0


def test_an_unanswered_start_is_not_sent_again_in_a_cordoned_domain():
    world = TwoDomains(sidecars=2, north=1)
    world.silent_workers.add("side0")
    world.submit("entry0", "r", job("j", count=4))
    world.run(ms(20))
    world.cordon(NORTH)
    world.run(ms(5))
    world.silent_workers.clear()
    world.log.clear()
    world.run(ms(4000))
    assert world.starts_in(NORTH) == 0
    assert world.end_of("r") is JobEnd.COMPLETED


# No worker is left


def test_a_job_is_refused_at_once_while_all_domains_are_cordoned():
    world = TwoDomains()
    world.cordon(NORTH, SOUTH)
    world.run(ms(10))
    world.submit("entry0", "r", job("j"))
    assert world.answers["r"].end is JobEnd.NOT_RUN
    assert world.answers["r"].reason is RefusalReason.DOMAINS_CORDONED
    assert world.answers["r"].retry_after > ms(0)


def test_jobs_that_wait_are_refused_once_all_domains_are_cordoned():
    world = TwoDomains(sidecars=2)
    world.submit("entry0", "r0", job("j0", count=4))
    world.submit("entry0", "r1", job("j1", count=2))
    world.run(ms(20))
    world.cordon(NORTH, SOUTH)
    world.run(ms(150))
    assert world.answers["r1"].end is JobEnd.NOT_RUN
    world.run(ms(1000))
    assert world.end_of("r0") is JobEnd.COMPLETED


def test_a_job_with_a_part_done_is_not_called_not_run_when_its_rest_finds_no_worker():
    world = TwoDomains(sidecars=1, north=1)
    world.submit("entry0", "r", job("j", count=4))
    world.run(ms(50))
    world.cordon(NORTH)
    world.run(ms(600))
    assert world.answers["r"].end is JobEnd.GIVEN_UP
    assert len(world.starts_of("j")) == 2


def test_a_cordoned_group_is_no_final_refusal():
    """Another entry may be connected to workers in other failure domains."""
    world = TwoDomains(entries=4, sidecars=4, north=4, group=SingleEntryGroup)
    world.cordon(NORTH)
    world.run(ms(200))
    for number in range(4):
        world.submit(f"entry{number}", f"r{number}", job(f"j{number}"))
    world.run(ms(2000))
    reasons = {world.answers[f"r{number}"].reason for number in range(4)}
    assert RefusalReason.DOMAINS_CORDONED not in reasons
    assert world.ends_of([f"r{number}" for number in range(4)]) <= {
        JobEnd.GIVEN_UP,
        JobEnd.NOT_RUN,
    }
    assert RefusalReason.NO_WORKER_IN_GROUP in reasons


# Load


@pytest.mark.parametrize("domains, share", [((), 4), ((NORTH,), 2)])
def test_the_expected_wait_follows_the_room_that_is_left(domains, share):
    world = TwoDomains()
    world.cordon(*domains)
    world.run(ms(10))
    for number in range(8):
        world.submit("entry0", f"r{number}", job(f"j{number}", count=4))
    state = world.processes["entry0"].state
    queued = sum(len(tasks) for tasks in state.waiting.values())
    assert queued > 0
    work = queued * 3000 * 0.2
    wait = expected_wait(state, SERVICE, ROUTE.priority).total_seconds()
    assert wait == pytest.approx(work / (share * 8000 / 2), rel=0.01)


def test_a_refused_placement_names_the_cordon():
    world = TwoDomains()
    name = world.processes["side0"].name
    world.cut_off("entry0", "side0")
    world.cut_off("entry1", "side0")
    event = Received("entry9-x", ConfigurationOffer(0, Cordons(7, 7, (NORTH,))))
    world.post(world.processes["side0"], event)
    world.submit("entry0", "r", job("j", count=8))
    world.cut.clear()
    world.log.clear()
    world.run(ms(100))
    reasons = {
        effect.message.reason
        for _, sender, effect in world.log
        if sender == name
        and isinstance(effect, Send)
        and isinstance(effect.message, RunEnded)
    }
    assert reasons == {EndReason.DOMAIN_CORDONED}
