# Declares one package: a static library from src/*.cpp, and one test program from tests/*.cpp.
# Private libraries are not visible to packages above, so an include that skips a layer does not compile.
function(banyanrill_package name)
  banyanrill_folder(${name} ${CMAKE_SOURCE_DIR}/packages/${name} ${ARGN})
endfunction()

# The same for a folder elsewhere.
function(banyanrill_folder name root)
  cmake_parse_arguments(ARG "" "" "DEPENDS;PRIVATE_LIBS;KNOWN_RED" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${root}/src/*.cpp)
  file(GLOB tests CONFIGURE_DEPENDS ${root}/tests/*.cpp)
  list(FILTER sources EXCLUDE REGEX "/Main\\.cpp$")

  set(visibility PUBLIC)
  if(sources)
    add_library(${name} STATIC ${sources})
  else()
    add_library(${name} INTERFACE)
    set(visibility INTERFACE)
  endif()
  target_include_directories(${name} ${visibility} ${root}/include)
  target_link_libraries(${name} ${visibility} ${ARG_DEPENDS})
  if(sources)
    target_link_libraries(${name} PRIVATE ${ARG_PRIVATE_LIBS} Threads::Threads)
  endif()

  if(BANYANRILL_TESTS AND tests)
    add_executable(test_${name} ${tests} ${CMAKE_SOURCE_DIR}/tests/support/TestMain.cpp)
    target_link_libraries(test_${name} PRIVATE ${name} ${ARG_PRIVATE_LIBS} PkgConfig::CPPUTEST rapidcheck Threads::Threads)
    # RapidCheck keeps state from its first property on; CppUTest would report it as a leak.
    target_compile_definitions(test_${name} PRIVATE CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
    # KNOWN_RED excludes a test of this package that KNOWN-RED.txt names, with options of CppUTest.
    add_test(NAME ${name} COMMAND test_${name} -v ${ARG_KNOWN_RED})
    # The simulated fleet of the jobs package takes minutes under the sanitizers on a busy machine.
    set_tests_properties(${name} PROPERTIES TIMEOUT 2400
      ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=${BANYANRILL_PROPERTY_RUNS}")
  endif()
endfunction()

# Declares an installed program whose entry point is src/Main.cpp of a package.
function(banyanrill_program name package)
  set(main ${CMAKE_SOURCE_DIR}/packages/${package}/src/Main.cpp)
  if(EXISTS ${main})
    add_executable(${name} ${main})
    target_link_libraries(${name} PRIVATE ${package} ${ARGN} Threads::Threads)
    target_compile_definitions(${name} PRIVATE BANYANRILL_VERSION="${PROJECT_VERSION}")
    install(TARGETS ${name} RUNTIME DESTINATION bin)
  endif()
endfunction()

set(BANYANRILL_PROPERTY_RUNS 200 CACHE STRING "Number of runs of each RapidCheck property")
