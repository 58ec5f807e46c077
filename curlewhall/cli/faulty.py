"""The command with injected disk faults, started by the drills. CONTROL is the file that selects the fault.

python -m curlewhall.cli.faulty CONTROL serve FILE [...]
"""

import sys
from pathlib import Path

from curlewhall.drills.faulty import use_faulty_disk

from .main import main

if __name__ == "__main__":
    use_faulty_disk(Path(sys.argv[1]))
    main(sys.argv[2:], prog_name="curlewhall")
