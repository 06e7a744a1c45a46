#!/usr/bin/env bash
cd "$(dirname "$0")" && exec ../common/run Flood .
