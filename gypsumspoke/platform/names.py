"""Converts between task ids and their names on the wire, JOB.OCCURRENCE.STEP.INDEX."""

from gypsumspoke.runs.values import RunId, TaskId

# Only jobs that run once are supported; their occurrence is 0.
_OCCURRENCE = "0"


def task_name(task: TaskId) -> str:
    """Return the wire name of a task."""
    return f"{task.job}.{_OCCURRENCE}.{task.step}.{task.index}"


def parse_run_id(name: str, number: int) -> RunId:
    """Return the run id for a task's wire name and a run number.

    Raises:
      ValueError: the name is malformed.
    """
    job, _, step, index = name.split(".")
    return RunId(TaskId(job, int(step), int(index)), int(number))
