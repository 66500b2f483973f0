// standin_ports COUNT: prints free TCP ports of the loopback address, chosen by the kernel.
#include <arpa/inet.h>
#include <cstdlib>
#include <iostream>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

int main(int argc, char **argv) {
  const int count = argc == 2 ? std::atoi(argv[1]) : 0;
  std::vector<int> sockets;
  for (int i = 0; i < count; ++i) {
    // All sockets stay open until the end, so that no port is named twice.
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    if (bind(descriptor, generic, size) != 0 || getsockname(descriptor, generic, &size) != 0)
      return 1;
    sockets.push_back(descriptor);
    std::cout << ntohs(address.sin_port) << (i + 1 < count ? " " : "\n");
  }
  for (const int descriptor : sockets)
    close(descriptor);
  return count > 0 ? 0 : 2;
}
