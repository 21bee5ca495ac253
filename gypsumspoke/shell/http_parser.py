"""geventhttpclient's response parser, without its clients.

Importing the package runs its ``__init__``, which loads sessions, cookies and form
uploads. They are not used here and would delay the start of every process. The parser
is therefore imported with an empty placeholder for the package, which is removed
afterwards so that a later import loads the real one.
"""

import importlib
import importlib.util
import sys
from types import ModuleType

_PACKAGE = "geventhttpclient"
_PARSER = "geventhttpclient.response"


def _import_parser() -> ModuleType:
    """Import only the parser's module.

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
HTTPResponse = _response.HTTPResponse
HTTPSocketResponse = _response.HTTPSocketResponse
