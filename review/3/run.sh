#!/usr/bin/env bash
# A planned stop while servers of another region are about to answer.
here=$(dirname "$0")
exec "$here/../stand/run-case.sh" StopCase "$here"
