// The one translation unit that holds the non-template parts of Asio and Beast, which take long to compile.
#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>
