#!/usr/bin/env bash
# A machine that is cut off from the store goes on granting a share of an allowance that an added machine owns.
here=$(dirname "$0")
exec "$here/../stand/run-case.sh" TwoOwnersCase "$here"
