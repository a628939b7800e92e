#!/usr/bin/env bash
# Servers leave while the machine is frozen that reads the store for its region.
here=$(dirname "$0")
exec "$here/../stand/run-case.sh" LeavingServerCase "$here"
