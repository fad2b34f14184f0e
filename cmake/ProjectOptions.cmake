# Language standard, warnings and sanitizers of all targets.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_AUTOMOC OFF)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

option(DANDELIONCRANK_WERROR "Treat warnings as errors" OFF)
set(DANDELIONCRANK_SANITIZE "" CACHE STRING
  "Sanitizers, as given to -fsanitize= (empty for none)")

add_compile_options(-Wall -Wextra -Wpedantic -Wnon-virtual-dtor
  -Woverloaded-virtual)
if(DANDELIONCRANK_WERROR)
  add_compile_options(-Werror)
endif()
if(DANDELIONCRANK_SANITIZE)
  add_compile_options(-fsanitize=${DANDELIONCRANK_SANITIZE}
    -fno-omit-frame-pointer)
  add_link_options(-fsanitize=${DANDELIONCRANK_SANITIZE})
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()
