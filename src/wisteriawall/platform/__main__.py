"""Entry point of the platform's programs.

After a loss of power nothing is served until the imports of the processes are
done, on VMs with a fraction of a core. A role whose settings come from
environment variables is therefore started without the command line parser.
"""

import gc
import signal
import sys

# A SIGHUP that arrives before the role handles it would end the process. The
# settings are read after this, so nothing is missed.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# Imports allocate many objects, and hardly any of them is garbage.
gc.disable()


def main() -> None:
    """Run a role, or the command line if there are flags."""
    match sys.argv[1:]:
        case ["gateway" | "control" as role]:
            from wisteriawall.platform import launch

            launch.main(role)
        case _:
            gc.enable()
            from wisteriawall import command_line
            from wisteriawall.platform import commands

            command_line.run(commands.app)


if __name__ == "__main__":
    main()
