#!/usr/bin/env bash
# Variant of run.sh: the owner's second release also gets no answer and is carried out late (`applied_late`).
cd "$(dirname "$0")" && LATE=1 exec python3 case.py
