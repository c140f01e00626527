#!/usr/bin/env bash
# Regenerates crowwinch/generated from schema/. Needs requirements/generator.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
python="${PYTHON:-python3}"
generate() {
  "$python" -m datamodel_code_generator --input "schema/$1.json" \
    --input-file-type jsonschema --output "crowwinch/generated/$1.py" \
    --output-model-type msgspec.Struct --target-python-version 3.11 \
    --base-class "$2" --field-constraints --use-annotated \
    --use-standard-collections --use-union-operator --disable-timestamp \
    --use-schema-description --enum-field-as-literal all \
    --formatters builtin
}
# Defaults are always present, so UnsetType is not part of the types.
generate peer_messages crowwinch.generated.bases.MessageStruct
generate fleet_messages crowwinch.generated.bases.MessageStruct
generate documents crowwinch.generated.bases.DocumentStruct
generate settings crowwinch.generated.bases.DocumentStruct
for name in peer_messages fleet_messages documents settings; do
  "$python" - "crowwinch/generated/$name.py" <<'PY'
import pathlib, re, sys
path = pathlib.Path(sys.argv[1])
text = path.read_text()
text = re.sub(r'\s*\| UnsetType', '', text)
text = text.replace(', UnsetType', '').replace('UnsetType, ', '')
path.write_text(text)
PY
done
