#!/usr/bin/env bash
# Case 12; see claim.txt.
folder=$(dirname "$0")
exec "$folder/../run-3.sh" restarted "$folder"
