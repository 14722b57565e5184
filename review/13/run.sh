#!/usr/bin/env bash
# Case 13; see claim.txt.
folder=$(dirname "$0")
exec "$folder/../run-3.sh" cancelled "$folder"
