"""The platform's names for calls and fields, which are kept in ``wire.json``."""

import json
from pathlib import Path

NAMES: dict[str, str] = json.loads(Path(__file__).with_name("wire.json").read_text())
