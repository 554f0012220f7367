"""Run a platform program without loading the other commands."""

from wisteriawall.platform import commands

if __name__ == "__main__":
    commands.app()
