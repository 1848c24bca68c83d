// Sends open-loop load to the entry instances and prints the report as one
// JSON object.
//
//   load_generator --load load.json
//
// The file has the fields of load_options in load_generator.h; "entries" is an
// object from instance name to address.

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bench/load_generator.h"

namespace bilberrycourse {
namespace {

void Run(const std::string& path) {
  std::ifstream stream(path);
  if (!stream) throw std::runtime_error("cannot read " + path);
  const std::string text(std::istreambuf_iterator<char>(stream), {});
  const load_options options =
      ParseLoadOptions(boost::json::parse(text).as_object());
  std::vector<std::unique_ptr<boost::asio::io_context>> contexts;
  std::vector<std::unique_ptr<load_generator>> generators;
  const auto start = load_generator::clock::now();
  for (std::int64_t i = 0; i < options.threads; ++i) {
    contexts.push_back(std::make_unique<boost::asio::io_context>(1));
    generators.push_back(std::make_unique<load_generator>(
        OptionsForThread(options, i), contexts.back().get()));
    generators.back()->Start(start);
  }
  {
    std::vector<std::jthread> threads;
    for (auto& context : contexts) {
      threads.emplace_back([&context] { context->run(); });
    }
  }
  for (std::size_t i = 1; i < generators.size(); ++i) {
    generators[0]->Merge(*generators[i]);
  }
  std::cout << boost::json::serialize(generators[0]->Report()) << std::endl;
}

}  // namespace
}  // namespace bilberrycourse

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::string load;
  po::options_description options("Load generator");
  options.add_options()("help", "print this text")(
      "load", po::value(&load)->required(),
      "JSON file that describes the load");
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
