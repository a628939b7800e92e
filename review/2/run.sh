#!/usr/bin/env bash
# A server answers one request with a chunk line that never ends.
here=$(dirname "$0")
exec "$here/../stand/run-case.sh" EndlessAnswerCase "$here"
