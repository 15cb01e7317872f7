# Functions that read a deploy file; sourced by the other scripts of this folder.

# build_command prints the build command of a deploy file.
build_command() {
	sed -n 's/^build = "\(.*\)"$/\1/p' "$1"
}

# listed_packages prints the Debian packages that a deploy file lists, a line each.
listed_packages() {
	sed -n 's/^packages = \[\(.*\)\]$/\1/p' "$1" | tr -d '" ' | tr ',' '\n' | sed '/^$/d'
}
