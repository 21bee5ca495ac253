"""Weighted random walks over the histories of ``test_promises``, by seed.

Hypothesis shrinks what it finds but spends most steps on short, even histories. A walk
picks the rules that meet each other in a hole (submit, change the owner, resubmit) more
often, and goes on for longer. A long run: ``python -m tests.core.walk 0 5000``.
"""

import random
import sys

from gypsumspoke.core.values import Outcome
from tests.core.test_promises import WORKERS, Histories

STEPS = 120

WEIGHTS = {
    "submit": 4,
    "submit_some": 6,
    "resubmit": 6,
    "resubmit_all": 4,
    "resubmit_with_the_next_attempt": 6,
    "cancel": 4,
    "deliver": 8,
    "deliver_all": 4,
    "repeat": 2,
    "lose_connection": 2,
    "pass_time": 8,
    "finish_a_task": 8,
    "finish_all_tasks": 2,
    "change_the_owner": 5,
    "replace_the_holder": 2,
    "wake_all": 3,
    "kill": 1,
    "replace": 3,
    "pause": 2,
    "replace_a_paused_one": 3,
    "wake": 2,
    "drain": 1,
    "cut": 1,
    "heal": 3,
    "change_the_table": 2,
}
GOOD_TABLE = 0.7


def arguments(name, chance):
    """Return arguments for a rule, drawn like those of the stateful test."""
    index = chance.randrange(1_000_000)
    which = chance.randrange(1_000_000)
    drawn = {
        "submit": (index, chance.uniform(-1, 1), chance.random() < 0.3),
        "submit_some": (chance.randint(2, 4),),
        "resubmit": (index, which, chance.random() < 0.5),
        "resubmit_with_the_next_attempt": (index, which, chance.random() < 0.3),
        "cancel": (which,),
        "deliver": (index,),
        "repeat": (index,),
        "lose_connection": (index,),
        "pass_time": (chance.randint(1, 25), chance.random() < 0.7),
        "finish_a_task": (
            index,
            chance.choice([Outcome.DONE] * 4 + list(Outcome)),
        ),
        "change_the_owner": (which, chance.choice(["pause", "pause", "kill", "drain"])),
        "replace_the_holder": (which, index),
        "wake_all": (chance.random() < 0.6,),
        "kill": (index, chance.random() < 0.5),
        "replace": (index,),
        "replace_a_paused_one": (index,),
        "pause": (index,),
        "wake": (index, chance.random() < 0.5),
        "drain": (index,),
        "cut": (index, which),
        "change_the_table": (chance.random() > GOOD_TABLE, chance.randint(0, 1)),
    }
    return drawn.get(name, ())


NEEDS_SUBMISSIONS = {
    "resubmit",
    "resubmit_all",
    "resubmit_with_the_next_attempt",
    "cancel",
    "change_the_owner",
    "replace_the_holder",
}
NEEDS_FLIGHTS = {"deliver", "deliver_all", "repeat"}


def is_possible(machine, name):
    """Return whether a rule's precondition holds."""
    if name in NEEDS_SUBMISSIONS:
        return bool(machine.submissions)
    if name in NEEDS_FLIGHTS:
        return bool(machine.system.in_transit)
    if name == "lose_connection":
        return bool(machine.system.links)
    return True


def walk(seed, steps=STEPS):
    """Run one history and check the promises after each step and at its end."""
    chance = random.Random(seed)
    machine = Histories()
    machine.start(seed, [chance.uniform(-1, 1) for _ in range(WORKERS)])
    names = list(WEIGHTS)
    weights = list(WEIGHTS.values())
    for _ in range(steps):
        name = chance.choices(names, weights)[0]
        if not is_possible(machine, name):
            continue
        getattr(machine, name)(*arguments(name, chance))
        machine.no_task_starts_twice()
    machine.what_was_not_run_never_ran()
    machine.each_answer_is_whole_and_its_own()
    machine.no_configuration_reverts()
    machine.teardown()
    return machine


def main(first, last):
    """Walk the seeds from ``first`` to before ``last`` and list those that fail."""
    failed = []
    for seed in range(first, last):
        try:
            walk(seed)
        except AssertionError as error:
            failed.append(seed)
            print(f"seed {seed}: {str(error)[:300]}", flush=True)
    print(f"{last - first - len(failed)} passed, {len(failed)} failed: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
