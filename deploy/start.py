"""Start one role on the users' platform.

SIGHUP is ignored before anything else is imported, since it would end the process until
the daemon has set its handler.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from os.path import abspath, dirname, join  # noqa: E402

started = time.monotonic()
# Most imported modules are the standard library's, so its folders are searched first.
sys.path.sort(key=lambda entry: entry.endswith("deps"))
sys.path.append(join(dirname(dirname(abspath(__file__))), "src"))

from berylturn.process.early_socket import bind_early  # noqa: E402

early = bind_early(os.environ.get("BERYLTURN_SETTINGS", ""), "passthrough", "packets")

from berylturn.platform.start import main  # noqa: E402

main(sys.argv[1:], started, early)
