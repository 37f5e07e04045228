#!/bin/sh
# Plays the case. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." && exec review/bin/stand-in evacuation review/4
