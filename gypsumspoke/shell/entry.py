"""The process of an entry: binds the ports, joins the parts, runs the loop."""

import logging
import uuid
from contextlib import ExitStack, closing
from datetime import datetime, timezone

from gypsumspoke.core import entry_role
from gypsumspoke.core.clock import Clock
from gypsumspoke.core.data import Deliver, Member, Role
from gypsumspoke.parser.manifest import parse_manifest
from gypsumspoke.parser.settings import Settings
from gypsumspoke.shell.admin_http import AdminServer
from gypsumspoke.shell.entry_http import CallerServer, EntryHttp
from gypsumspoke.shell.metrics import Metrics, install
from gypsumspoke.shell.operator_http import OperatorHttp, OperatorTable
from gypsumspoke.shell.runtime import Runtime
from gypsumspoke.shell.table_client import TableClient
from gypsumspoke.wire.hello import PROTOCOL_VERSION, Hello
from gypsumspoke.wire.links import PeerLinks

OPERATOR_PREFIX = "/v1/"

_log = logging.getLogger(__name__)
_NOT_YET = datetime.min.replace(tzinfo=timezone.utc)


def run(settings: Settings, clock: Clock) -> int:
    """Run an entry until it is told to stop.

    Args:
      settings: checked settings of the role entry.
      clock: source of time.

    Returns:
      The exit status of the process.

    Raises:
      OSError: a port can't be had.
    """
    with ExitStack() as stack:
        return _Entry(settings, clock, stack).run()


class _Entry:
    """The parts of the process; the exit stack closes them in reverse order."""

    def __init__(self, settings: Settings, clock: Clock, stack: ExitStack) -> None:
        self._settings = settings
        self._clock = clock
        self._metrics = Metrics(settings.role.value, settings.worker)
        incarnation = f"{settings.worker}-{uuid.uuid4().hex}"
        seed = uuid.uuid4().int
        links = self._make_links(incarnation, seed, stack)
        peer_port = links.listen(settings.host, settings.peer_port)
        admin_port = self._start_admin(stack)
        member = self._member(incarnation, peer_port, admin_port)
        self._state = entry_role.new_entry_role(
            member,
            settings.partition_count,
            seed,
            parse_manifest,
            settings.drain_timeout,
        )
        table = stack.enter_context(closing(TableClient(self._table_address)))
        self._runtime = Runtime(entry_role.reduce, self._state, clock, links, table)
        install(self._runtime, self._metrics)
        ports = {
            "peer_port": peer_port,
            "http_port": self._start_callers(stack),
            "admin_port": admin_port,
        }
        _log.info("listening", extra={"incarnation": incarnation, **ports})

    @property
    def _table_address(self) -> tuple[str, int]:
        return self._settings.table_host, self._settings.table_port

    def run(self) -> int:
        """Turn the loop until the process has to end and return its status."""
        return self._runtime.run()

    def _make_links(self, incarnation: str, seed: int, stack: ExitStack) -> PeerLinks:
        settings = self._settings
        hello = Hello(
            PROTOCOL_VERSION, incarnation, settings.worker, settings.partition_count
        )
        return stack.enter_context(closing(PeerLinks(hello, self._clock, seed)))

    def _member(self, incarnation: str, peer_port: int, admin_port: int) -> Member:
        settings = self._settings
        return Member(
            incarnation=incarnation,
            worker=settings.worker,
            role=Role.ENTRY,
            host=settings.host,
            port=peer_port,
            failure_domain=settings.failure_domain,
            rack=settings.rack,
            service="",
            slots=0,
            registered=_NOT_YET,
            ended=None,
            admin_port=admin_port,
        )

    def _start_admin(self, stack: ExitStack) -> int:
        """Start the administration port; it answers once the loop runs."""
        table = OperatorTable(TableClient(self._table_address))
        stack.enter_context(closing(table))
        operators = OperatorHttp(
            table,
            lambda: self._state.members,
            lambda event: self._runtime.post(event),
            self._clock,
        )
        server = AdminServer(
            self._settings.host,
            self._settings.admin_port,
            self._metrics,
            lambda: entry_role.is_ready(self._state),
            {OPERATOR_PREFIX: operators},
        )
        return stack.enter_context(server).port

    def _start_callers(self, stack: ExitStack) -> int:
        """Start the callers' port."""
        application = EntryHttp(
            self._runtime.post,
            self._metrics.count,
            self._clock,
            lambda: self._runtime.draining,
        )
        self._runtime.handle(Deliver, application.deliver)
        settings = self._settings
        server = CallerServer(settings.host, settings.http_port, application)
        stack.enter_context(closing(server))
        server.start()
        return server.port
