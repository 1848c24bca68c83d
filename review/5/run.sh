#!/usr/bin/env bash
folder=$(cd "$(dirname "$0")" && pwd) && exec "$folder/../common/run" "$folder"
