"""Entry point of the platform's programs; imports no other commands."""

from wisteriawall.platform import commands

if __name__ == "__main__":
    commands.app()
