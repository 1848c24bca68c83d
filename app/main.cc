#include <iostream>

int main() {
  std::cout << "bilberrycourse 0.1.0\n";
  return 0;
}
