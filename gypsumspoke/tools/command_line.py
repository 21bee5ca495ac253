"""The command ``gypsumspoke``: the two roles and the operators' commands.

A role imports its modules only when it starts, so that a sidecar does not hold the
memory of an entry's HTTP server, nor either that of the operators' commands. Exit
codes are those of ``ExitCode``.
"""

import logging
import sys
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import NoReturn

import click
from returns.result import Failure, Result

from gypsumspoke import __version__
from gypsumspoke.core.clock import Clock, SystemClock
from gypsumspoke.core.values import Role
from gypsumspoke.parser.settings import Settings, read_settings
from gypsumspoke.tools.exit_codes import ExitCode


class AddressType(click.ParamType):
    """``HOST:PORT`` on the command line."""

    name = "host:port"

    def convert(
        self,
        value: str,
        param: click.Parameter | None,
        ctx: click.Context | None,
    ) -> tuple[str, int]:
        """Return host and port, or end with a usage error."""
        host, _, port = value.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            self.fail(f"{value!r} is not HOST:PORT", param, ctx)
        return host, int(port)


_logger = logging.getLogger(__name__)

_FILE = click.Path(dir_okay=False, path_type=Path)

_settings_option = click.option(
    "--settings", "path", type=_FILE, required=True, help="Settings file."
)
_admin_option = click.option(
    "--admin",
    type=AddressType(),
    required=True,
    envvar="GYPSUMSPOKE_ADMIN",
    help="Administration port of any entry.",
)
_entry_option = click.option(
    "--entry",
    type=AddressType(),
    required=True,
    envvar="GYPSUMSPOKE_ENTRY",
    help="Callers' port of any entry.",
)


@click.group()
def main() -> None:
    """Dispatcher for jobs of many sub-second tasks."""


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(__version__)


# ---------------------------------------------------------------------------
# Roles


@main.command()
@_settings_option
def entry(path: Path) -> None:
    """Run an entry until it is told to stop."""
    settings = _start(path, Role.ENTRY)
    from gypsumspoke.shell import entry as role

    _run(role.run, settings)


@main.command()
@_settings_option
def sidecar(path: Path) -> None:
    """Run the sidecar of one upstream until it is told to stop."""
    settings = _start(path, Role.SIDECAR)
    from gypsumspoke.shell import sidecar as role

    _run(role.run, settings)


@main.group("platform")
def on_platform() -> None:
    """The roles on the users' platform, which places their settings."""


@on_platform.command("entry")
def platform_entry() -> None:
    """Run an entry that coordinates best-effort jobs."""
    from gypsumspoke.platform import roles

    roles.run_entry()


@on_platform.command("sidecar")
def platform_sidecar() -> None:
    """Run the sidecar of one worker that runs best-effort jobs."""
    from gypsumspoke.platform import roles

    roles.run_sidecar()


def _start(path: Path, role: Role) -> Settings:
    """Return checked settings with logs set up, or end the process."""
    from gypsumspoke.shell.logs import configure_logs

    settings = _load_settings(path)
    if settings.role is not role:
        _fail(
            ExitCode.BAD_INPUT, f"{path}: role: is for the role {settings.role.value}"
        )
    configure_logs(sys.stderr, settings.log_level, role.value, settings.worker)
    return settings


def _run(run: Callable[[Settings, Clock], int], settings: Settings) -> NoReturn:
    """Run a role and end with its status; a port that can't be had is bad input."""
    try:
        status = run(settings, SystemClock())
    except OSError as error:
        # As a rule a port is taken, by a process that the settings also name.
        reason = {"reason": str(error)}
        _logger.critical("can't start", extra=reason, exc_info=True)
        sys.exit(ExitCode.BAD_INPUT)
    sys.exit(status)


# ---------------------------------------------------------------------------
# Checks without a connection


@main.group()
def settings() -> None:
    """Settings of one process."""


@settings.command("check")
@click.argument("path", metavar="FILE", type=_FILE)
def settings_check(path: Path) -> None:
    """Check a settings file."""
    _load_settings(path)
    click.echo(f"{path}: settings are valid")


def _load_settings(path: Path) -> Settings:
    return _checked(path, read_settings(path))


@main.group()
def manifest() -> None:
    """Configuration of the whole system."""


@manifest.command("check")
@click.argument("path", metavar="FILE", type=_FILE)
def manifest_check(path: Path) -> None:
    """Check a manifest file."""
    _load_manifest(path)
    click.echo(f"{path}: manifest is valid")


def _load_manifest(path: Path) -> str:
    from gypsumspoke.parser.documents import to_strict_json
    from gypsumspoke.parser.manifest import parse_manifest

    text = _read(path)
    _checked(path, parse_manifest(text))
    # Every process parses it again, and strict JSON is far cheaper to parse.
    return to_strict_json(text).unwrap()


# ---------------------------------------------------------------------------
# Operators


@manifest.command("apply")
@click.argument("path", metavar="FILE", type=_FILE)
@_admin_option
@click.option("--change-id", help="Identity of the change when a step is repeated.")
def manifest_apply(path: Path, admin: tuple[str, int], change_id: str | None) -> None:
    """Put a manifest in force everywhere, in place of the current version."""
    from gypsumspoke.tools import operator_client

    text = _load_manifest(path)
    applied = operator_client.apply_manifest(_address(admin), text, change_id)
    click.echo(f"version {_value(applied)} is accepted")


@manifest.command("show")
@_admin_option
def manifest_show(admin: tuple[str, int]) -> None:
    """Print the current manifest; its version goes to standard error."""
    from gypsumspoke.tools import operator_client

    current = _value(operator_client.show_manifest(_address(admin)))
    click.echo(f"version {current.version}", err=True)
    click.echo(current.text)


@manifest.command("status")
@_admin_option
def manifest_status(admin: tuple[str, int]) -> None:
    """Print the version in force at every process."""
    from gypsumspoke.tools import operator_client

    click.echo(_value(operator_client.manifest_status(_address(admin))))


@main.command()
@_admin_option
def status(admin: tuple[str, int]) -> None:
    """Print the members and partitions that an entry knows."""
    from gypsumspoke.tools import operator_client

    click.echo(_value(operator_client.status(_address(admin))))


@main.command()
@click.argument("worker")
@_admin_option
def drain(worker: str, admin: tuple[str, int]) -> None:
    """Have the process of WORKER finish what it runs and exit."""
    from gypsumspoke.tools import operator_client

    click.echo(_value(operator_client.drain(_address(admin), worker)))


@main.command()
@click.argument("worker")
@click.option("--incarnation", required=True, help="As `status` shows it.")
@_admin_option
@click.confirmation_option(
    prompt="If its process still runs, tasks may start twice. Has it ended for good?"
)
def gone(worker: str, incarnation: str, admin: tuple[str, int]) -> None:
    """State that a process of WORKER has ended for good with its memory."""
    from gypsumspoke.tools import operator_client

    click.echo(_value(operator_client.gone(_address(admin), worker, incarnation)))


# ---------------------------------------------------------------------------
# Callers


@main.command()
@click.argument("path", metavar="FILE", type=_FILE)
@_entry_option
@click.option("--wait-seconds", type=click.FloatRange(0.1, 3600), default=120.0)
@click.option("--key", help="Idempotency key in place of the one in the file.")
@click.option("--new-key", is_flag=True, help="Make a key and print it first.")
def submit(
    path: Path,
    entry: tuple[str, int],
    wait_seconds: float,
    key: str | None,
    new_key: bool,
) -> None:
    """Submit the job in FILE and print its answer."""
    from gypsumspoke.tools import caller_client

    text = _read(path)
    if new_key:
        # Printed before anything is sent: whoever gets no answer resubmits with it.
        key = caller_client.new_key(SystemClock())
        click.echo(f"key {key}", err=True)
    _print_answer(caller_client.submit(_address(entry), text, key, wait_seconds))


@main.command()
@click.argument("team")
@click.argument("key")
@_entry_option
def query(team: str, key: str, entry: tuple[str, int]) -> None:
    """Print what became of a job."""
    from gypsumspoke.tools import caller_client

    _print_answer(caller_client.query(_address(entry), team, key))


@main.command()
@click.argument("team")
@click.argument("key")
@_entry_option
def cancel(team: str, key: str, entry: tuple[str, int]) -> None:
    """Have nothing more of a job started."""
    from gypsumspoke.tools import caller_client

    _print_answer(caller_client.cancel(_address(entry), team, key))


def _print_answer(answer: Result) -> None:
    """Print the whole answer, and end with REFUSED for any but a good one."""
    from gypsumspoke.tools.operator_client import describe

    reply = _value(answer)
    if not 200 <= reply.status < 300:
        _fail(ExitCode.REFUSED, describe(reply))
    click.echo(reply.body.decode(errors="replace"))


# ---------------------------------------------------------------------------
# Measuring


@main.command()
@click.argument("paths", metavar="FILE...", type=_FILE, nargs=-1, required=True)
@click.option("--seconds", type=click.FloatRange(0.1, 3600), default=2.0)
def losses(paths: tuple[Path, ...], seconds: float) -> None:
    """Tell from log files when and why best-effort jobs were late or not served."""
    from gypsumspoke.tools.losses import count_losses, render

    lines = (line for path in paths for line in _read(path).splitlines())
    click.echo(render(count_losses(lines, timedelta(seconds=seconds))))


@main.command(add_help_option=False, context_settings={"ignore_unknown_options": True})
@click.argument("arguments", nargs=-1, type=click.UNPROCESSED)
def measure(arguments: tuple[str, ...]) -> None:
    """Measure the policy, the reducers and the processes."""
    # Only here: the histograms come with the test extra.
    from gypsumspoke.tools import measure as command

    command.measure.main(list(arguments), prog_name="gypsumspoke measure")


# ---------------------------------------------------------------------------
# Results to exit codes


def _address(pair: tuple[str, int]):
    from gypsumspoke.tools.http_client import Address

    return Address(*pair)


def _read(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        _fail(ExitCode.BAD_INPUT, f"{path}: can't read the file: {error}")


def _checked(path: Path, result: Result):
    """Return the value, or print every error of the file and end the process."""
    if isinstance(result, Failure):
        lines = [f"{path}: {error}" for error in result.failure()]
        _fail(ExitCode.BAD_INPUT, "\n".join(lines))
    return result.unwrap()


def _value(result: Result):
    """Return the value, or print the error and end with its exit code."""
    if isinstance(result, Failure):
        error = result.failure()
        _fail(error.code, error.reason)
    return result.unwrap()


def _fail(code: ExitCode, message: str) -> NoReturn:
    click.echo(message, err=True)
    sys.exit(code)


if __name__ == "__main__":
    main()
