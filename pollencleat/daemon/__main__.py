"""Runs the daemon: ``python -m pollencleat.daemon``."""

import signal

if __name__ == "__main__":
    # The default action ends the process. The daemon reads its settings after it has
    # installed its own handler, so that no change is missed meanwhile.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from pollencleat.daemon.main import main

    main()
