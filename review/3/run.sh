#!/usr/bin/env bash
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
exec ../common/run KeptBuffers .
