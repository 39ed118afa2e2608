"""Start one role on the platform; SIGHUP is harmless from the first instruction."""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

import sys  # noqa: E402
from pathlib import Path  # noqa: E402

sys.path.insert(0, str(Path(__file__).parent.parent / "src"))

from berylturn.platform.start import main  # noqa: E402

main(sys.argv[1:])
