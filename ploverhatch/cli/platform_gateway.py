"""Entry point of a gateway process on the platform.

It doesn't import ``click``, since memory is priced on these machines and the platform passes no
arguments. ``ploverhatch gateway`` does the same from the command line.
"""

import gc
import os
import sys

from ploverhatch.cli import early_signals  # noqa: F401 - first, for its effect
from ploverhatch.common import log_output
from ploverhatch.gateway.process import Gateway
from ploverhatch.platform import names
from ploverhatch.platform.dialect import PlatformDialect
from ploverhatch.platform.documents import PlatformTranslation
from ploverhatch.platform.settings import SettingsFile, SettingsFileError
from ploverhatch.platform.store import PlatformObjectStore

EXIT_WRONG_SETTINGS = 2


def run(path: str) -> None:
    """Run a gateway until it is stopped.

    :raises SettingsFileError: if the settings are invalid.
    """
    source = SettingsFile(path)
    settings = source.read()
    log_output.start(settings.node)
    gc.freeze()
    store = PlatformObjectStore(settings.store)
    Gateway(source, settings, store, PlatformDialect(), PlatformTranslation()).run()


def main() -> None:
    """Run with the settings file that the platform's environment variable names."""
    path = os.environ.get(names.SETTINGS_VARIABLE, "")
    try:
        run(path)
    except SettingsFileError as error:
        print(f"settings: {error}", file=sys.stderr)
        sys.exit(EXIT_WRONG_SETTINGS)


if __name__ == "__main__":
    main()
