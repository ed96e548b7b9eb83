"""Settings of the C library's memory allocator."""

import ctypes

from loguru import logger

# From malloc.h of glibc.
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
# Blocks of this size, as the pieces of long answers, are mapped one by one, so that
# each goes back to the system when it is freed. By default glibc raises this size to
# that of the largest block freed so far, and keeps what is smaller: after a burst of
# answers of 1 MiB, up to twice their memory stayed with the process.
MAPPED_BYTES = 64 << 10
TRIMMED_BYTES = 128 << 10


def return_freed_memory() -> None:
    """Make the allocator return large freed blocks to the system, if it is glibc's."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    done = mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES)
    done &= mallopt(M_TRIM_THRESHOLD, TRIMMED_BYTES)
    logger.debug("allocator set up", step="allocator", done=bool(done))
