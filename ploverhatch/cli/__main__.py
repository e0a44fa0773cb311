"""Lets ``python -m ploverhatch.cli`` run the command."""

from ploverhatch.cli.main import main

main(prog_name="ploverhatch")
