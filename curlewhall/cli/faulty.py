"""The command with injected disk faults, started by the drills. CONTROL is the file that selects the fault.

python -m curlewhall.cli.faulty CONTROL serve FILE [...]
"""

import sys
from pathlib import Path

from curlewhall.drills.faulty import put_in

from .main import main

if __name__ == "__main__":
    put_in(Path(sys.argv[1]))
    main(sys.argv[2:], prog_name="curlewhall")
