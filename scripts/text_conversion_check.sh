#!/usr/bin/env bash
# Fails if sources convert texts by other functions than those of core/json.hpp.
# The functions of Qt drop a byte order mark at the beginning of a text.
set -euo pipefail
cd "$(dirname "$0")/.."
conversions='QString::from(StdString|Utf8|Local8Bit)|QJsonDocument::fromJson'
conversions+='|toString\(\)[[:space:]]*\.(toStdString|toUtf8)'
conversions+='|QStringDecoder|QUtf8StringView'
found=$(find libs platform apps tools \( -name '*.cpp' -o -name '*.hpp' \) \
    -not -path '*/test/*' -not -path libs/core/src/json.cpp -print0 |
    xargs -0 perl -0777 -ne \
        'while (/('"$conversions"')/g) { print "$ARGV: $1\n" }')
if [ -n "$found" ]; then
    echo "$found"
    echo "use the conversions of dandelioncrank/core/json.hpp"
    exit 1
fi
echo "no other conversions of texts"
