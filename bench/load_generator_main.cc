// Open-loop load on the entry instances; prints one JSON object.
//
//   load_generator --load load.json
//
// The file has the fields of load_options in load_generator.h; "entries" is an
// object from instance name to address.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "bench/load_generator.h"

namespace bilberrycourse {
namespace {

void Run(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) throw std::runtime_error("cannot read " + path);
  const std::string text(std::istreambuf_iterator<char>(stream), {});
  boost::asio::io_context context(1);
  load_generator generator(
      ParseLoadOptions(boost::json::parse(text).as_object()), &context);
  generator.Start();
  context.run();
  std::cout << boost::json::serialize(generator.Report()) << std::endl;
}

}  // namespace
}  // namespace bilberrycourse

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::string load;
  po::options_description options("Load generator");
  options.add_options()("help", "print this text")(
      "load", po::value(&load)->required(), "JSON file of the load");
  try {
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.contains("help")) {
      std::cout << options;
      return 0;
    }
    po::notify(values);
    bilberrycourse::Run(load);
  } catch (const std::exception& error) {
    std::cerr << "load_generator: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
