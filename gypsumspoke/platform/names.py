"""Names of tasks on the wire: JOB.OCCURRENCE.STEP.INDEX."""

from gypsumspoke.runs.values import RunId, TaskId

# Jobs that run once have the occurrence 0.
_ONLY_OCCURRENCE = "0"


def task_name(task: TaskId) -> str:
    """Return the name of a task."""
    return f"{task.job}.{_ONLY_OCCURRENCE}.{task.step}.{task.index}"


def parse_run_id(name: str, number: int) -> RunId:
    """Return the run that a worker lists.

    Raises:
      ValueError: the name has another form.
    """
    job, _, step, index = name.split(".")
    return RunId(TaskId(job, int(step), int(index)), int(number))
