#include <jasminespread/run_operator_tool.h>

#include <iostream>

int main(int argc, char** argv)
{
    return jasminespread::runOperatorTool(std::vector<std::string>(argv + 1, argv + argc), std::cout, std::cerr);
}
