"""geventhttpclient's response parser, without its clients.

Importing anything of the package runs its ``__init__``, which loads sessions, cookies
and form uploads. A role uses none of them, and loading them delays its start; where all
processes are lost at once, that is time in which no caller is served. So the parser is
imported beside an empty package, which gives way to the whole one for whoever imports
that later.
"""

import importlib
import importlib.util
import sys
from types import ModuleType

_PACKAGE = "geventhttpclient"
_PARSER = "geventhttpclient.response"


def _import_parser() -> ModuleType:
    """Import the parser's module only.

    Raises:
      ModuleNotFoundError: the package is not installed.
    """
    if _PACKAGE in sys.modules:
        return importlib.import_module(_PARSER)
    spec = importlib.util.find_spec(_PACKAGE)
    if spec is None:
        raise ModuleNotFoundError(f"{_PACKAGE} is not installed", name=_PACKAGE)
    sys.modules[_PACKAGE] = importlib.util.module_from_spec(spec)
    try:
        return importlib.import_module(_PARSER)
    finally:
        del sys.modules[_PACKAGE]


_response = _import_parser()
HTTPParseError = _response.HTTPParseError
HTTPSocketResponse = _response.HTTPSocketResponse
