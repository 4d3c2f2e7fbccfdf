// Compiles the Asio, SSL and Beast sources once. Replaced by the file of the net package when that exists.
#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>
