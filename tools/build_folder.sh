# Sourced by the scripts that configure a build folder.

# Prints what the objects in a build folder depend on besides the sources and options.
describe_machine() {
  uname -m
  "${CXX:-c++}" --version | head -n 1
  pwd -P
}

# prepare_build_folder FOLDER: removes a build folder that another machine, compiler or checkout
# has made, since its objects cannot be linked or run here.
prepare_build_folder() {
  local folder=$1 stamp=$1/machine.txt
  if [ -e "$folder/CMakeCache.txt" ] && [ "$(cat "$stamp" 2>/dev/null)" != "$(describe_machine)" ]; then
    echo "$folder was made elsewhere and is built anew" >&2
    rm -rf "$folder"
  fi
  mkdir -p "$folder"
  describe_machine >"$stamp"
}
