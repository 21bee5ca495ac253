"""An entry process under test and a stand-in for its home."""

import json
from contextlib import closing
from datetime import datetime, timezone

import gevent
from gevent.queue import Queue
from geventhttpclient import HTTPClient

from gypsumspoke.core.clock import SystemClock
from gypsumspoke.core.errors import Work
from gypsumspoke.core.events import Received
from gypsumspoke.core.messages import CancelJob, JobAnswer, QueryJob, SubmitJob
from gypsumspoke.core.values import Answer, Member, Role
from gypsumspoke.wire.hello import PROTOCOL_VERSION, Hello
from gypsumspoke.wire.links import PeerLinks
from tests.standins.processes import TIMEOUT_SECONDS

PARTITIONS = 4
MANIFEST = {
    "services": [{"name": "estimate"}],
    "teams": [{"name": "pots", "tasks_per_second": 1000, "burst_tasks": 500}],
}
DONE = Answer(None, Work.RAN, (b'{"pot": 1.10}', b"plain"))


class Home:
    """A stand-in home with real peer links that queues the job messages it gets."""

    def __init__(self):
        clock = SystemClock()
        hello = Hello(PROTOCOL_VERSION, "home-1", "home", PARTITIONS)
        self.links = PeerLinks(hello, clock)
        self.port = self.links.listen("127.0.0.1", 0)
        self.jobs = Queue()
        self.links.start(self._on_event)

    def member(self):
        now = datetime.now(timezone.utc)
        return Member(
            incarnation="home-1",
            worker="home",
            role=Role.SIDECAR,
            host="127.0.0.1",
            port=self.port,
            failure_domain="a",
            rack="r",
            service="estimate",
            slots=8,
            registered=now,
            ended=None,
            admin_port=1,
        )

    def receive(self, kind):
        """Return sender and message of the next job message, of the given type."""
        sender, message = self.jobs.get(timeout=TIMEOUT_SECONDS)
        assert isinstance(message, kind)
        return sender, message

    def answer(self, answer, kind=SubmitJob):
        """Answer the next job message and return it."""
        sender, message = self.receive(kind)
        key = message.submission.key if kind is SubmitJob else message.key
        self.links.send(sender, JobAnswer(message.request, key, answer))
        return message

    def _on_event(self, event):
        if isinstance(event, Received) and isinstance(
            event.message, (SubmitJob, QueryJob, CancelJob)
        ):
            self.jobs.put((event.sender, event.message))


class Entry:
    """The entry process under test and its ports."""

    def __init__(self, processes, table):
        self.process = processes.start_role(
            "entry",
            {
                "role": "entry",
                "worker": "entry-a",
                "host": "127.0.0.1",
                "peer_port": 0,
                "http_port": 0,
                "admin_port": 0,
                "failure_domain": "a",
                "rack": "r",
                "region": "north",
                "table_host": "127.0.0.1",
                "table_port": table.port,
                "partition_count": PARTITIONS,
                "drain_timeout_seconds": 20,
            },
        )
        ports = self.process.wait_for_line("listening")["details"]
        self.port = ports["http_port"]
        self.admin_port = ports["admin_port"]

    def wait_ready(self):
        with gevent.Timeout(TIMEOUT_SECONDS):
            while request(self.admin_port, "GET", "/readyz")[0] != 200:
                gevent.sleep(0.02)
        # The entry is ready once its row is written; it reads the members afterwards.
        with gevent.Timeout(TIMEOUT_SECONDS):
            while not (members := self._own_members()):
                gevent.sleep(0.02)
        [member] = members
        self.incarnation = member["incarnation"]
        return self

    def _own_members(self):
        status = request(self.admin_port, "GET", "/v1/status")[2]
        return [m for m in status["members"] if m["worker"] == "entry-a"]

    def submit(self, changes=(), headers=None):
        body = json.dumps(job(**dict(changes))).encode()
        return request(self.port, "POST", "/v1/jobs", body, headers)

    def submit_later(self, **changes):
        return gevent.spawn(self.submit, changes)


def job(**changes):
    fields = {
        "key": "k1",
        "birth": datetime.now(timezone.utc).isoformat(),
        "team": "pots",
        "service": "estimate",
        "deadline_seconds": 20,
        "tasks": [{"body": {"paid": 7}}, {"body": 2}],
    }
    return {**fields, **changes}


def request(port, method, path, body=b"", headers=None):
    """Return status, headers and body; a JSON body is parsed."""
    client = HTTPClient("127.0.0.1", port, network_timeout=TIMEOUT_SECONDS)
    with closing(client):
        response = client.request(method, path, body=body, headers=headers or {})
        text = response.read()
        lower_case = {name.lower(): value for name, value in response.headers}
        is_json = "json" in lower_case.get("content-type", "")
        return response.status_code, lower_case, json.loads(text) if is_json else text


def write(table, rows):
    """Write rows to the table, whatever their versions."""
    writes = [{"key": key, "value": value} for key, value in rows.items()]
    table.post("/v1/transactions", {"checks": [], "writes": writes})
