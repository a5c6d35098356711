# Sourced by the launchers: exits with status 69 (service unavailable, sysexits.h) if a module is not built.

# require_jar ROOT MODULE
require_jar() {
  local jars=("$1/$2/target/$2"-*.jar)
  if [[ ! -f "${jars[0]}" ]]; then
    echo "$(basename "$0"): $2 is not built; run 'mvn -B -ntp -DskipTests package' in $1" >&2
    exit 69
  fi
}
