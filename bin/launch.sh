# Sourced by the scripts of this folder: finds the repository and builds what is missing.
ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"

# Builds the programs unless they are there; nothing is tested.
build_missing() {
    if ls "$ROOT"/mustardusher-lab/target/mustardusher-lab-*.jar >/dev/null 2>&1 \
        && ls "$ROOT"/mustardusher-ctl/target/lib >/dev/null 2>&1; then
        return
    fi
    echo "building mustardusher (the first time only)" >&2
    (cd "$ROOT" && mvn -q -B package -DskipTests >&2)
}

# Prints the class path of a module.
class_path() {
    echo "$(ls "$ROOT/$1"/target/"$1"-*.jar | head -n 1):$ROOT/$1/target/lib/*"
}

JAVA="${JAVA_HOME:+$JAVA_HOME/bin/}java"
