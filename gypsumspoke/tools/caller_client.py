"""A caller's requests to an entry: submit a job, ask for its answer, cancel it."""

import json
from urllib.parse import quote

from returns.result import Failure, Result

from gypsumspoke.parser.documents import read_document
from gypsumspoke.tools.exit_codes import ExitCode
from gypsumspoke.tools.http_client import Address, Reply, Request, exchange
from gypsumspoke.tools.operator_client import CommandError, no_reply_error

JOBS_PATH = "/v1/jobs"
DEFAULT_WAIT_SECONDS = 120.0


def submit(
    entry: Address, text: str, wait: float = DEFAULT_WAIT_SECONDS
) -> Result[Reply, CommandError]:
    """Submit a job and wait for its answer.

    Args:
      entry: HTTP address of an entry.
      text: the job as docs/API.md describes it, in JSON with comments.
      wait: bound on the wait for the answer, in seconds.

    Returns:
      The entry's answer, a refusal included, or why there is none.
    """
    document = read_document(text)
    if isinstance(document, Failure):
        return Failure(CommandError(ExitCode.BAD_INPUT, str(document.failure())))
    body = json.dumps(document.unwrap()).encode()
    headers = {"Content-Type": "application/json"}
    request = Request("POST", JOBS_PATH, headers, body)
    return exchange(entry, request, wait).alt(no_reply_error)


def query(entry: Address, team: str, key: str) -> Result[Reply, CommandError]:
    """Ask what became of a job."""
    request = Request("GET", job_path(team, key))
    return exchange(entry, request).alt(no_reply_error)


def cancel(entry: Address, team: str, key: str) -> Result[Reply, CommandError]:
    """Have nothing more of a job started."""
    request = Request("DELETE", job_path(team, key))
    return exchange(entry, request).alt(no_reply_error)


def job_path(team: str, key: str) -> str:
    """Return the path of one job; team and key are percent-encoded."""
    return f"{JOBS_PATH}/{quote(team, safe='')}/{quote(key, safe='')}"
