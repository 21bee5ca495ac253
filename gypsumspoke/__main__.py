"""``python -m gypsumspoke`` runs the command line."""

from gypsumspoke.tools.command_line import main

if __name__ == "__main__":
    main(prog_name="gypsumspoke")
