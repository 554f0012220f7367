"""Entry point of the platform's programs; imports no other commands."""

import signal

# A SIGHUP that arrives before the role handles it would end the process. The
# settings are read after this, so nothing is missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from wisteriawall.platform import commands  # noqa: E402

if __name__ == "__main__":
    commands.app()
