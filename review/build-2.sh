#!/bin/sh
# The stand-ins of the second review are Python sources without dependencies; this checks that
# they compile. The scripts start the gateways from the sources, as the deploy file does.
cd "$(dirname "$0")/.." || exit 2
exec python3 -c "
import sys
from pathlib import Path
for folder in ('parts', '4', '5', '6', '7', '8'):
    for path in (Path('review') / folder).rglob('*.py'):
        compile(path.read_text(), str(path), 'exec')
"
