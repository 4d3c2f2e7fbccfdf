# Build settings and helper functions shared by all packages.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")

if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
# Full debug information doubles the build time of the Beast translation units.
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    # The base directory lets several checkouts of the project share one cache.
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CMAKE_COMMAND} -E env
        CCACHE_BASEDIR=${PROJECT_SOURCE_DIR} CCACHE_NOHASHDIR=1 ${CCACHE_PROGRAM})
endif()

set(SISKINWHARF_SANITIZER "" CACHE STRING "Sanitizer of all targets: address, thread or empty")
if(SISKINWHARF_SANITIZER STREQUAL "address")
    add_compile_options(-fsanitize=address -fno-sanitize-recover=all -fno-omit-frame-pointer)
    add_link_options(-fsanitize=address,undefined)
elseif(SISKINWHARF_SANITIZER STREQUAL "thread")
    add_compile_options(-fsanitize=thread -fno-omit-frame-pointer)
    add_link_options(-fsanitize=thread)
endif()

add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor)
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    # g++ 12 reports the frame allocator of Asio's coroutines, whose operators new and delete do match.
    add_compile_options(-Wno-mismatched-new-delete)
endif()
# Boost headers are only found in the version that the project declares.
add_compile_definitions(BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION)

find_package(Threads REQUIRED)
find_package(fmt REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json)
if(BUILD_TESTING)
    find_package(Catch2 2 REQUIRED)
    find_package(rapidcheck REQUIRED)
endif()

# Packages with coroutines. clang 14 loses temporaries whose address a coroutine passes on, such as the arguments of
# fmt::format after a co_await, when it optimises; g++ does not. The sanitizer builds do without optimisation there.
set(coroutine_packages net http peer cloud forwarding platform)
function(siskinwharf_coroutine_options target package)
    if(SISKINWHARF_SANITIZER AND CMAKE_CXX_COMPILER_ID STREQUAL "Clang" AND package IN_LIST coroutine_packages)
        target_compile_options(${target} PRIVATE -O0)
    endif()
endfunction()

# siskinwharf_library(<name> SOURCES <file>... [DEPENDS <target>...])
# Adds one package: a static library with public headers under include/.
function(siskinwharf_library name)
    cmake_parse_arguments(PARSE_ARGV 1 ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS")
    add_library(siskinwharf_${name} STATIC ${ARG_SOURCES})
    add_library(siskinwharf::${name} ALIAS siskinwharf_${name})
    target_include_directories(siskinwharf_${name} PUBLIC include PRIVATE src)
    target_link_libraries(siskinwharf_${name} PUBLIC ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE_DEPENDS})
    siskinwharf_coroutine_options(siskinwharf_${name} ${name})
    # These packages with coroutines go without: clang 14 cannot compile them with -fsanitize=undefined, and g++ 12
    # does not finish in reasonable time.
    set(unchecked_packages net http peer cloud forwarding)
    if(SISKINWHARF_SANITIZER STREQUAL "address" AND NOT name IN_LIST unchecked_packages)
        target_compile_options(siskinwharf_${name} PRIVATE -fsanitize=undefined)
    endif()
endfunction()

# All test programs of packages, for the sanitizer builds.
add_custom_target(package_tests)

# siskinwharf_test(<package> SOURCES <file>... [DEPENDS <target>...])
# Adds the one test program of a package.
function(siskinwharf_test name)
    cmake_parse_arguments(PARSE_ARGV 1 ARG "" "" "SOURCES;DEPENDS")
    add_executable(test_${name} ${ARG_SOURCES})
    siskinwharf_coroutine_options(test_${name} ${name})
    target_link_libraries(test_${name} PRIVATE siskinwharf::${name} Catch2::Catch2WithMain ${ARG_DEPENDS})
    add_test(NAME ${name} COMMAND test_${name})
    add_dependencies(package_tests test_${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300 LABELS "unit;package"
        ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()
