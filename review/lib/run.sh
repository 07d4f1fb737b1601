# Sourced by each run.sh: starts the built case from the repository root and passes its exit code on.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
case_file="target/review/case$(basename "$folder").cjs"
if [ ! -f target/gateway.cjs ] || [ ! -f "$case_file" ]; then
    echo "run the build of deploy/system.toml and review/build.sh first" >&2
    exit 2
fi
export TROUBLE="${TROUBLE:-1}" RECORD="$folder/record.txt"
exec node "$case_file"
