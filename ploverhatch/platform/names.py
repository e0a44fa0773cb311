"""Names that the platform defines in its page PROTOCOL.md."""

SETTINGS_VARIABLE = "PLOVERHATCH_NODE_FILE"

KIND_CONFIG = "config"
CONFIG_NAME = "main"
KIND_SERVERS = "servers"
KIND_EVACUATIONS = "evacuations"

OBJECTS_PATH = "/ploverhatch/objects"
READINESS_PATH = b"/ploverhatch/readiness"
GRANT_PATH = b"/ploverhatch/grant"
RELEASE_PATH = b"/ploverhatch/release"

STATE_DRAINING = "draining"
KIND_SAFE = "safe"

# Header fields, in lower case: received names are converted before comparison.
REQUEST_ID = b"request-id"
DEADLINE = b"request-deadline-ms"
SEAL = b"response-seal"
EXPECT_INSTANCE = b"expect-instance"
NOT_EXECUTED = b"not-executed"
INSTANCE = b"instance-id"
SHARD_KEY = b"shard-key"
API_KEY = b"api-key"
AUTHORIZATION = b"authorization"
HANDOVER = b"handover"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
LIMIT = b"server-limit"
LOAD = b"server-load"
ERA = b"store-era"
