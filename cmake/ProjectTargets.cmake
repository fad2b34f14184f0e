# dandelioncrank_library(NAME SOURCES ... DEPENDS ...)
# Adds a static library with the alias dandelioncrank::NAME.
function(dandelioncrank_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(dandelioncrank_${name} STATIC ${ARG_SOURCES})
  add_library(dandelioncrank::${name} ALIAS dandelioncrank_${name})
  target_include_directories(dandelioncrank_${name}
    PUBLIC "${CMAKE_CURRENT_SOURCE_DIR}/include"
    PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}/src")
  target_link_libraries(dandelioncrank_${name} PUBLIC ${ARG_DEPENDS})
  target_compile_definitions(dandelioncrank_${name} PUBLIC QT_NO_KEYWORDS)
endfunction()

# Catch2 main function, compiled once for all test programs.
add_library(dandelioncrank_test_main STATIC
  "${PROJECT_SOURCE_DIR}/cmake/test_main.cpp")

# dandelioncrank_test(NAME SOURCES ... DEPENDS ... SUBJECTS ...)
# Adds the test program of a library, with one ctest entry per subject; the
# subject is a Catch2 tag.
function(dandelioncrank_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;SUBJECTS" ${ARGN})
  add_executable(test_${name} ${ARG_SOURCES})
  # Tests may include private headers of the library under test.
  target_include_directories(test_${name}
    PRIVATE "${CMAKE_CURRENT_SOURCE_DIR}/src")
  target_link_libraries(test_${name}
    PRIVATE dandelioncrank_test_main ${ARG_DEPENDS})
  foreach(subject IN LISTS ARG_SUBJECTS)
    add_test(NAME ${name}.${subject} COMMAND test_${name} "[${subject}]")
    set_tests_properties(${name}.${subject} PROPERTIES TIMEOUT 600)
  endforeach()
endfunction()
