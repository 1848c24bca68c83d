#include "app/cli.h"

int main(int argc, char** argv) {
  return bilberrycourse::RunCommandLine(argc, argv);
}
