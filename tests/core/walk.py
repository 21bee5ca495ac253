"""Weighted random walks over the rules of ``test_promises``, by seed.

Compared with hypothesis, walks are longer and favor rules that interact (submit, change
the owner, resubmit). For many seeds: ``python -m tests.core.walk 0 5000``.
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


def arguments(name, rng):
    """Return random arguments for a rule, like those of the stateful test."""
    index = rng.randrange(1_000_000)
    which = rng.randrange(1_000_000)
    drawn = {
        "submit": (index, rng.uniform(-1, 1), rng.random() < 0.3),
        "submit_some": (rng.randint(2, 4),),
        "resubmit": (index, which, rng.random() < 0.5),
        "resubmit_with_the_next_attempt": (index, which, rng.random() < 0.3),
        "cancel": (which,),
        "deliver": (index,),
        "repeat": (index,),
        "lose_connection": (index,),
        "pass_time": (rng.randint(1, 25), rng.random() < 0.7),
        "finish_a_task": (
            index,
            rng.choice([Outcome.DONE] * 4 + list(Outcome)),
        ),
        "change_the_owner": (which, rng.choice(["pause", "pause", "kill", "drain"])),
        "replace_the_holder": (which, index),
        "wake_all": (rng.random() < 0.6,),
        "kill": (index, rng.random() < 0.5),
        "replace": (index,),
        "replace_a_paused_one": (index,),
        "pause": (index,),
        "wake": (index, rng.random() < 0.5),
        "drain": (index,),
        "cut": (index, which),
        "change_the_table": (rng.random() > GOOD_TABLE, rng.randint(0, 1)),
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
    """Return whether the precondition of a rule holds."""
    if name in NEEDS_SUBMISSIONS:
        return bool(machine.submissions)
    if name in NEEDS_FLIGHTS:
        return bool(machine.system.in_transit)
    if name == "lose_connection":
        return bool(machine.system.links)
    return True


def walk(seed, steps=STEPS):
    """Run one walk; check starts after each step and all promises at its end."""
    rng = random.Random(seed)
    machine = Histories()
    machine.start(seed, [rng.uniform(-1, 1) for _ in range(WORKERS)])
    names = list(WEIGHTS)
    weights = list(WEIGHTS.values())
    for _ in range(steps):
        name = rng.choices(names, weights)[0]
        if not is_possible(machine, name):
            continue
        getattr(machine, name)(*arguments(name, rng))
        machine.no_task_starts_twice()
    machine.what_was_not_run_never_ran()
    machine.each_answer_is_whole_and_its_own()
    machine.no_configuration_reverts()
    machine.teardown()
    return machine


def main(first, last):
    """Run the walks of seeds ``first`` to ``last`` - 1 and list those that fail."""
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
