"""Run the command line with `python -m wisteriawall`."""

from wisteriawall import cli

if __name__ == "__main__":
    cli.main()
