# Functions shared by the scripts in this folder: locate the repository, build it if necessary, run its programs.
ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
JAVA="${JAVA_HOME:+$JAVA_HOME/bin/}java"
ARCHIVE="$ROOT/mustardusher-node/target/musherd.jsa"

# Builds the programs, without running tests, unless they exist.
build_missing() {
    if ls "$ROOT"/mustardusher-lab/target/mustardusher-lab-*.jar >/dev/null 2>&1 \
        && ls "$ROOT"/mustardusher-ctl/target/lib >/dev/null 2>&1; then
        return
    fi
    echo "building mustardusher (the first time only)" >&2
    (cd "$ROOT" && mvn -q -B -ntp package -DskipTests >&2)
}

# Prints the class path of a module.
class_path() {
    echo "$(ls "$ROOT/$1"/target/"$1"-*.jar | head -n 1):$ROOT/$1/target/lib/*"
}

# Runs musher-lab; RUN=exec replaces this shell with it.
lab() {
    ${RUN:-} "$JAVA" -Xmx1500m -Djava.awt.headless=true -Dcom.linecorp.armeria.transportType=epoll \
        -Dlogback.configurationFile=logback-lab.xml \
        -Dlogback.statusListenerClass=ch.qos.logback.core.status.NopStatusListener \
        -Dmustardusher.node.classPath="$(class_path mustardusher-node)" \
        -Dmustardusher.node.archive="$ARCHIVE" \
        -Dmustardusher.node.flags="${MUSHER_NODE_FLAGS:-}" \
        -cp "$(class_path mustardusher-lab)" io.mustardusher.lab.MusherLab "$@"
}

# Writes the class data sharing archive from which nodes start, unless it is newer than the programs. Nodes also start
# without it, but more slowly.
archive_missing() {
    local jar
    jar="$(ls "$ROOT"/mustardusher-node/target/mustardusher-node-*.jar | head -n 1)"
    if [ "$ARCHIVE" -nt "$jar" ]; then
        return
    fi
    rm -f "$ARCHIVE"
    lab archive --folder "$ROOT/mustardusher-node/target/archive" >&2 || echo "no class archive; going on" >&2
}
